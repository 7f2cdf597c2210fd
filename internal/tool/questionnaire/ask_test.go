package questionnaire_test

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/tool/questionnaire"
)

// session answers the questions for the Koro team as a person would, with two slips.
const session = `Koro Flex Surfaces Group
suva-a

10.2.0.300
10.2.0.1 10.2.0.2 10.2.0.3
/var/lib/lycheevale
yes
labasa-a

10.2.1.1 10.2.1.2 10.2.1.3
/var/lib/lycheevale
yes
vunisea-a

10.2.2.1 10.2.2.2
/var/lib/lycheevale
no
koro-lm
koro-replies
many
3000


no
yes
koro-orders
0.9995
POST /flooring-orders


GET /flooring-orders/{id}


GET /catalogue

yes


hotels
300
700
500
45
2

yes
builders
180
1500
700
45
2

yes
shops
60
500
300
60
1

yes
ferries
15
600
400
60
1

yes
homes
10
400
300
90
1

no
1200
40s


/etc/lycheevale/tls

/var/log/lycheevale/audit.jsonl
`

// Guards against questions that miss an answer, and against saved answers that cannot be read again.
func TestAskEqualsFile(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	asked, err := questionnaire.Ask(strings.NewReader(session), &out)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out.String()))
	c.Assert(strings.Count(out.String(), "Not usable"), qt.Equals, 2)
	want, err := questionnaire.Load(filepath.Join(configs, "koro-answers.yaml"))
	c.Assert(err, qt.IsNil)
	path := filepath.Join(t.TempDir(), "answers.yaml")
	data, err := questionnaire.Encode(asked)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	saved, err := questionnaire.Load(path)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", data))
	for _, got := range []questionnaire.Answers{asked, saved} {
		wantFiles, err := questionnaire.Generate(want)
		c.Assert(err, qt.IsNil)
		gotFiles, err := questionnaire.Generate(got)
		c.Assert(err, qt.IsNil)
		c.Assert(gotFiles, qt.DeepEquals, wantFiles)
	}
	_, err = questionnaire.Ask(strings.NewReader("Koro\nsuva-a\n"), io.Discard)
	c.Assert(err, qt.ErrorMatches, "the input ended.*")
}
