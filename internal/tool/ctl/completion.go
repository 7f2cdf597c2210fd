package ctl

import (
	_ "embed"
	"fmt"
)

//go:embed completion.bash
var bashScript string

//go:embed completion.zsh
var zshScript string

type completionCommand struct {
	*session
	Positional struct {
		Shell string `positional-arg-name:"SHELL" required:"yes" description:"bash or zsh"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	switch c.Positional.Shell {
	case "bash":
		fmt.Fprint(c.streams.Out, bashScript)
	case "zsh":
		fmt.Fprint(c.streams.Out, zshScript)
	default:
		return usage("no completion for shell %q (bash or zsh)", c.Positional.Shell)
	}
	return nil
}
