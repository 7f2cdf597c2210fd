package ctl

import (
	"fmt"
	"os"
	"path/filepath"

	"lycheevale/internal/tool/questionnaire"
)

type questionnaireCommand struct {
	*session
	Answers   string `long:"answers" description:"file with the answers; without it the questions are asked here"`
	Save      string `long:"save" description:"file to save the answers in, so that they can be changed later"`
	Out       string `long:"out" required:"yes" description:"folder for the generated files"`
	Overwrite bool   `long:"overwrite" description:"replace files that exist already"`
}

// Execute implements flags.Commander.
func (c *questionnaireCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	answers, err := c.answers()
	if err != nil {
		return fileError(err)
	}
	files, err := questionnaire.Generate(answers)
	if err != nil {
		return err
	}
	if err := questionnaire.Write(c.Out, files, c.Overwrite); err != nil {
		return err
	}
	for _, f := range files {
		fmt.Fprintln(c.streams.Out, filepath.Join(c.Out, f.Name))
	}
	c.notice("Start each instance with its file, then run: lycheectl apply -f %s", filepath.Join(c.Out, questionnaire.ObjectsFile))
	return nil
}

func (c *questionnaireCommand) answers() (answers questionnaire.Answers, err error) {
	if c.Answers != "" {
		return questionnaire.Load(c.Answers)
	}
	answers, err = questionnaire.Ask(c.streams.In, c.streams.Err)
	if c.Save == "" {
		return answers, err
	}
	// Answers that are not usable yet are saved too: nobody wants to type them twice.
	data, encodeErr := questionnaire.Encode(answers)
	if encodeErr != nil {
		return answers, encodeErr
	}
	const readable = 0o644
	if saveErr := os.WriteFile(c.Save, data, readable); saveErr != nil {
		return answers, saveErr
	}
	c.notice("The answers are in %s.", c.Save)
	return answers, err
}
