// Command monsoonstep-node runs balancers and agents for opaque flows on the users' platform.
package main

import (
	"os"

	"monsoonstep/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
