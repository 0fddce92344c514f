package membership

// encodedSize is the size of a delta as a message between instances. The package
// of the messages imports this one, so the outer test package sets it.
var encodedSize func(*Delta) int

// SetEncodedSize sets the measure of messages.
func SetEncodedSize(f func(*Delta) int) { encodedSize = f }
