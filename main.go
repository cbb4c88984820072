// Command gooseberryway routes language-model traffic that carries long shared prompts.
package main

func main() {}
