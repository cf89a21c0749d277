package server

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/validator"
)

// DecisionsOf returns what the daemons take from a document.
func DecisionsOf(document *validator.Document, service string) (dispatcher.Policy, damaskspread.Objective) {
	p := newPolicies(document)
	return p.dispatch(service), p.objective()
}
