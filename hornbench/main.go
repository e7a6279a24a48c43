// Command hornbench is a placeholder until its parts arrive.
package main

func main() {}
