// Command cyclamenhoist serves rarely used models on shared accelerators.
package main

import (
	"os"

	"github.com/cyclamenhoist/cyclamenhoist/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
