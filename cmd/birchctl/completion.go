package main

import (
	"fmt"
	"os"
)

type completionCommand struct {
	Shell string `arg:"" help:"bash, zsh or fish." enum:"bash,zsh,fish"`
}

func (c *completionCommand) Run(p *printer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	switch c.Shell {
	case "fish":
		fmt.Fprintf(p.out, "complete -c birchctl -f -a '(env COMP_LINE=(commandline -cp) %s)'\n", self)
	case "zsh":
		fmt.Fprintf(p.out, "autoload -U +X bashcompinit && bashcompinit\ncomplete -o nospace -C %s birchctl\n", self)
	default:
		fmt.Fprintf(p.out, "complete -o nospace -C %s birchctl\n", self)
	}
	return nil
}
