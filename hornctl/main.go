// Command hornctl is a placeholder until its parts arrive.
package main

func main() {}
