// Package limit decides how much work is let in: how many requests may run on
// one backend server at once (Adaptive), and which requests wait, run or are
// shed when more arrive than can be served (Queue).
package limit
