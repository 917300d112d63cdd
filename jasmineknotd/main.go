// Command jasmineknotd is part of jasmineknot, a scheduler for agent programs.
package main

func main() {}
