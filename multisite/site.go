package multisite

// fullKeyEighths is the number of equal parts into which a recovering site's keys are divided.
const fullKeyEighths = 8

// Site is a site that can own keys.
type Site struct {
	Name       string
	IsOpen     bool // the site accepts keyed requests
	KeyEighths int  // eighths of its keys that the site accepts while it recovers; 0 stands for all of them
}
