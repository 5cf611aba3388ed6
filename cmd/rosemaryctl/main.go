// Command rosemaryctl is the operators' and callers' client of rosemaryloft.
// Its commands and exit codes are described in docs/rosemaryctl.md.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
