// Command monsoonstep runs the balancer and the agent, and provides the operators' commands.
package main

import (
	"os"

	"monsoonstep/io/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
