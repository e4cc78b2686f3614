package multisite

// fullKeyEighths is the number of parts that a site's keys are divided into while it recovers.
const fullKeyEighths = 8

// Site is a site that can own keys.
type Site struct {
	Name       string
	IsOpen     bool // it takes keys
	KeyEighths int  // eighths of its keys that it takes while it recovers; 0: all of them
}
