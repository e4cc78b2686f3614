package openapi

import (
	"os"
	"testing"

	"mulleinmux/contract"
)

func options() contract.Options {
	return contract.Options{Classes: []contract.Class{
		{Name: "slot-check", Worth: 3, Aim: 400e6, Deadline: 2e9},
		{Name: "visit-book", Worth: 9, Late: 0.2, Aim: 750e6, Deadline: 2e9}}, MostUnits: 50}
}

func TestExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/booking.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tab, _, err := Compile("booking.yaml", text, options())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(tab.Operations); n != 21 {
		t.Errorf("%d operations", n)
	}
	for _, o := range tab.Operations {
		t.Log(o.ID, o.Method, o.Template, o.Class, o.Units, o.Key)
	}
}
