// Package daemoncmd holds the commands of lycheevale that do not start an instance.
package daemoncmd

import (
	"crypto/tls"
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/buildinfo"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/tool/exitcode"
	"lycheevale/internal/wire/peer"
)

// PrintDefaults writes the commented default settings and returns the exit code.
func PrintDefaults(out io.Writer) int {
	if _, err := out.Write(settings.DefaultsYAML()); err != nil {
		return exitcode.Failure
	}
	return exitcode.OK
}

// Version writes the version of the program and returns the exit code.
func Version(out io.Writer) int {
	fmt.Fprintln(out, buildinfo.Text())
	return exitcode.OK
}

// CheckConfig checks the settings file at path and the files that it names, writes all errors to
// errOut and returns the exit code.
func CheckConfig(path string, out, errOut io.Writer) int {
	s, err := settings.Load(path)
	if err == nil {
		err = checkFiles(s)
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitcode.Invalid
	}
	fmt.Fprintf(out, "%s: settings of %s in %s are valid\n", path, s.Name, s.DataCentre)
	return exitcode.OK
}

// checkFiles reads every file that the settings name; a planned restart must not be the first to
// find out that one is missing.
func checkFiles(s settings.Settings) error {
	var all []error
	check := func(name string, err error) {
		if err != nil {
			all = append(all, fmt.Errorf("%s: %w", name, err))
		}
	}
	pair := func(name string, files settings.ServerTLS) {
		if files.CertificateFile != "" {
			_, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
			check(name, err)
		}
	}
	pair("TLS.Callers", s.TLS.Callers)
	pair("TLS.Operators", s.TLS.Operators)
	if p := s.TLS.Peers; p.CertificateFile != "" {
		_, err := peer.LoadKeys(p.CertificateFile, p.KeyFile, p.AuthorityFile)
		check("TLS.Peers", err)
	}
	if s.Operators.CredentialsFile != "" {
		_, err := operator.LoadCredentials(s.Operators.CredentialsFile)
		check("Operators.CredentialsFile", err)
	}
	if s.DataFolder != "" {
		check("DataFolder", checkFolder(s.DataFolder))
	}
	return errs.Combine(all...)
}

// checkFolder accepts a folder that does not exist yet, because the instance creates it.
func checkFolder(path string) error {
	info, err := os.Stat(path)
	switch {
	case errs.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%s is not a folder", path)
	}
	return nil
}
