package testserver

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// pipeFillTime is how long a full pipe is written to.
const pipeFillTime = 100 * time.Millisecond

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// FillPipe writes to a pipe until it is full, as if its reader had been stopped long ago.
func FillPipe(name string) error {
	pipe, err := os.OpenFile(name, os.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return err
	}
	defer pipe.Close()
	if err := pipe.SetWriteDeadline(time.Now().Add(pipeFillTime)); err != nil {
		return err
	}
	if _, err := io.Copy(pipe, zeros{}); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}
