package questionnaire_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/golden"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/objectfile"
	"lycheevale/internal/tool/questionnaire"
)

const configs = "../../../configs"

func ExampleGenerate() {
	answers, err := questionnaire.Load(filepath.Join(configs, "koro-answers.yaml"))
	if err != nil {
		fmt.Println(err)
		return
	}
	files, err := questionnaire.Generate(answers)
	fmt.Println(len(files), files[0].Name, err)
	// Output: 9 suva-a-1.yaml <nil>
}

// Guards against generated files that an instance or the registry does not accept.
func TestReferenceTeams(t *testing.T) {
	for _, team := range []string{"banksia", "koro"} {
		t.Run(team, func(t *testing.T) {
			c := qt.New(t)
			answers, err := questionnaire.Load(filepath.Join(configs, team+"-answers.yaml"))
			c.Assert(err, qt.IsNil)
			files, err := questionnaire.Generate(answers)
			c.Assert(err, qt.IsNil)
			voters := 0
			for _, f := range files {
				path := filepath.Join(configs, team, f.Name)
				golden.Check(t, path, f.Data)
				if f.Name == questionnaire.ObjectsFile {
					checkObjects(c, path)
					continue
				}
				s, err := settings.Load(path)
				c.Assert(err, qt.IsNil)
				c.Assert(s.Voters, qt.HasLen, 3)
				c.Assert(s.Listen.Streams.Addr().IsLoopback(), qt.IsFalse)
				c.Assert(len(s.Peers), qt.Equals, len(files)-2)
				if s.DataFolder != "" {
					voters++
				}
			}
			c.Assert(voters, qt.Equals, 3)
		})
	}
}

func checkObjects(c *qt.C, path string) {
	objects, err := objectfile.Read(path)
	c.Assert(err, qt.IsNil)
	r := registry.New()
	c.Assert(operator.CheckReferences(operator.View{Object: r.Get, Objects: r.List}, objects), qt.HasLen, 0)
	result := r.Apply(registry.Command{RequestID: "r1", Changes: objects})
	c.Assert(result, qt.Equals, registry.Result{Revision: 1})
	c.Assert(r.List(registry.KindCustomer), qt.HasLen, 5)
	c.Assert(r.List(registry.KindService), qt.HasLen, 2)
	c.Assert(r.List(registry.KindVoter), qt.HasLen, 3)
	orders := 0
	for _, s := range r.List(registry.KindService) {
		for _, route := range s.Service.Routes {
			if !route.Idempotent {
				orders++
			}
		}
	}
	c.Assert(orders, qt.Equals, 1)
	for _, o := range r.List(registry.KindCustomer) {
		c.Assert(o.Customer.Burst >= o.Customer.Rate, qt.IsTrue)
	}
}

// Guards against answers that lead to a deployment that cannot work, and errors without a place.
func TestAnswersAreChecked(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "answers.yaml")
	good, err := os.ReadFile(filepath.Join(configs, "koro-answers.yaml"))
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, append(good, "Extra: 1\n"...), 0o600), qt.IsNil)
	_, err = questionnaire.Load(path)
	c.Assert(err, qt.ErrorMatches, `.*:\d+:1: unknown field Extra.*`)
	answers, err := questionnaire.Load(filepath.Join(configs, "koro-answers.yaml"))
	c.Assert(err, qt.IsNil)
	for _, test := range []struct {
		want  string
		spoil func(a *questionnaire.Answers)
	}{
		{"has no disk", func(a *questionnaire.Answers) { a.DataCentres = []questionnaire.DataCentre{{Name: "a", Region: "a"}} }},
		{"would not be encrypted", func(a *questionnaire.Answers) { a.Operations.CertificateFolder = "" }},
		{"cannot be told apart", func(a *questionnaire.Answers) {
			a.Services = []questionnaire.PlainService{{Name: "s", Availability: 0.9, Routes: []questionnaire.Route{
				{Method: "GET", Path: "/{a}"}, {Method: "GET", Path: "/{b}"},
			}}}
		}},
		{"occurs twice", func(a *questionnaire.Answers) { a.Customers = append(a.Customers, a.Customers[0]) }},
		{"expected more than 0 and less than 1", func(a *questionnaire.Answers) { a.Models = []questionnaire.Model{{Name: "m"}} }},
		{"Traffic.LongestRequest is 0s", func(a *questionnaire.Answers) { a.Traffic.LongestRequest = 0 }},
	} {
		spoilt := answers
		test.spoil(&spoilt)
		_, err := questionnaire.Generate(spoilt)
		c.Check(err, qt.ErrorMatches, "(?s).*"+test.want+".*")
	}
}
