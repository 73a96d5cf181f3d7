package kctfake

import "kingcupturn/io/kctstutter"

// Stutter is the faulty server of kctstutter.
type Stutter = kctstutter.Stutter

// StutterPlan says how the answer to one request is written.
type StutterPlan = kctstutter.StutterPlan

// StutterAnswer is the answer to one request.
type StutterAnswer = kctstutter.StutterAnswer

// StutterCase is how a server answers a few requests in a row.
type StutterCase = kctstutter.StutterCase

// StutterServer serves cases one after the other.
type StutterServer = kctstutter.StutterServer

// The functions of kctstutter.
var (
	NewStutter         = kctstutter.NewStutter
	StutterCases       = kctstutter.StutterCases
	StartStutterServer = kctstutter.StartStutterServer
	RunStutterCases    = kctstutter.RunStutterCases
)
