// Command lycheevale runs one instance of the serving layer.
package main

func main() {}
