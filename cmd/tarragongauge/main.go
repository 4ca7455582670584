// Command tarragongauge runs every process of the proxy fleet and its operators' tools.
package main

func main() {}
