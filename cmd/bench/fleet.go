package main

func measureFleet(rep *report) error { return nil }
func measureFlows(rep *report) error { return nil }
