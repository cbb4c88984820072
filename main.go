// Command gooseberryway routes language-model traffic that carries long shared prompts.
package main

import "C" // links the program against the system's C library

import (
	"os"

	"github.com/gooseberryway/gooseberryway/internal/program/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
