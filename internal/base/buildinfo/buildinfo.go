// Package buildinfo reports the version and commit that the program was built from.
package buildinfo

import "runtime/debug"

// Text returns the version of the module and the commit that the program was built from.
func Text() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lycheevale (unknown version)"
	}
	text := "lycheevale " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text
}
