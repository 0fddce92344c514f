// Package controller contains the controllers. Each keeps one kind of state up
// to date: observer the membership of instances and backend servers, decider
// the replicas of the zone, and configuration the targets and the catalogue.
package controller
