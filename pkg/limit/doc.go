// Package limit decides how many requests may run on one backend server at once.
package limit
