// Package kctroutes finds the route of a request and shares its traffic among
// the route's targets.
package kctroutes
