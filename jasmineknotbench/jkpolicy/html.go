package jkpolicy

import "github.com/rotisserie/eris"

func writeHTML(string, []*results, []report) error { return eris.New("not yet") }
