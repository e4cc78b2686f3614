package reload

import "testing"

// However often a read is asked for during another one, it is done once more, with what was written meanwhile.
func TestReadsDuringRead(t *testing.T) {
	values := make(chan int)
	reader := NewReader(func() (int, error) { return <-values, nil })
	for range 3 {
		reader.Start()
	}
	for want := range 2 {
		values <- want
		if result := <-reader.Results(); result.Value != want {
			t.Errorf("read %d, want %d", result.Value, want)
		}
		reader.Finish()
	}
	select {
	case values <- 2:
		t.Error("a third read was begun")
	default:
	}
}
