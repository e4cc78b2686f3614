package multisite

// fullKeyEighths is the number of parts that a site's keys are divided into while it recovers.
const fullKeyEighths = 8

// Site is one that can own keys.
type Site struct {
	Name       string
	IsOpen     bool // it takes keys
	KeyEighths int  // eighths of the keys that it would own which it takes; 0: all of them
}
