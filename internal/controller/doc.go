// Package controller groups the controllers, each of which keeps one kind of
// state up to date: observer the members and backend servers, decider the
// replicas of the zone, configuration the targets and the catalogue.
package controller
