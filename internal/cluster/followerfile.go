package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"mulleinmux/configstream"
)

// followerFile keeps what a follower must know after a restart: confstream's Disk. Contents of versions stand by their
// digests and are written once; the rest is written anew by each change. All of a change is synced, or none.
type followerFile struct {
	db *bbolt.DB
}

const followerForm = 1

var (
	bucketFollower = []byte("follower")
	bucketContents = []byte("contents")
	keyHead        = []byte("head")
	keyDisk        = []byte("disk")
)

// fileHead says whose file it is.
type fileHead struct {
	Form    int    `json:"form"`
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
}

// fileDisk is the Disk without the contents.
type fileDisk struct {
	Starts   uint64                 `json:"starts"`
	Good     *configstream.Ref      `json:"good,omitempty"`
	InForce  bool                   `json:"in_force,omitempty"`
	Tries    int                    `json:"tries,omitempty"`
	Previous *configstream.Ref      `json:"previous,omitempty"`
	Received configstream.Ref       `json:"received"`
	Checks   int                    `json:"checks,omitempty"`
	Refused  []configstream.Refusal `json:"refused,omitempty"`
}

// ErrInvalidFollowerFile says that a follower's file can't be used.
var ErrInvalidFollowerFile = errors.New("is no file of this follower: move it away, and it begins with what a quorum confirms")

// openFollowerFile opens a follower's file, or makes it, and counts the start.
func openFollowerFile(path, cluster, name string) (f *followerFile, d configstream.Disk, err error) {
	defer func() {
		if p := recover(); p != nil { // pages that can't be
			err = fmt.Errorf("%s: %w: %v", path, ErrInvalidFollowerFile, p)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, d, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		if _, e := os.Stat(path); e == nil {
			err = fmt.Errorf("%w: %w", ErrInvalidFollowerFile, err)
		}
		return nil, d, fmt.Errorf("%s: %w", path, err)
	}
	f = &followerFile{db}
	want := fileHead{followerForm, cluster, name}
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketFollower)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(bucketContents); err != nil {
			return err
		}
		text := b.Get(keyHead)
		if text == nil {
			text, err = json.Marshal(want)
			return errors.Join(err, b.Put(keyHead, text))
		}
		var head fileHead
		if json.Unmarshal(text, &head) != nil || head != want {
			return fmt.Errorf("%w: it is that of %q of cluster %q, in form %d", ErrInvalidFollowerFile, head.Name, head.Cluster, head.Form)
		}
		return nil
	})
	if err == nil {
		d, err = f.load()
	}
	if err == nil {
		d.Starts++
		err = f.save(&d)
	}
	if err != nil {
		return nil, d, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return f, d, nil
}

func (f *followerFile) close() error { return f.db.Close() }

// load reads the Disk. A content that does not make its version is damage.
func (f *followerFile) load() (d configstream.Disk, err error) {
	err = f.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(bucketFollower).Get(keyDisk)
		if text == nil {
			return nil
		}
		var in fileDisk
		if err := json.Unmarshal(text, &in); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidFollowerFile, err)
		}
		d = configstream.Disk{Starts: in.Starts, InForce: in.InForce, Tries: in.Tries, Received: in.Received, Checks: in.Checks, Refused: in.Refused}
		for _, v := range []struct {
			ref *configstream.Ref
			to  **configstream.Version
		}{{in.Good, &d.Good}, {in.Previous, &d.Previous}} {
			if v.ref == nil {
				continue
			}
			b := &configstream.Body{}
			err := json.Unmarshal(tx.Bucket(bucketContents).Get([]byte(v.ref.Digest.String())), b)
			if err == nil {
				*v.to, err = b.Make(nil)
			}
			if err == nil && (*v.to).Ref != *v.ref {
				err = configstream.ErrDamaged
			}
			if err != nil {
				return fmt.Errorf("%w: version %v: %w", ErrInvalidFollowerFile, v.ref, err)
			}
		}
		return nil
	})
	return d, err
}

// save writes the Disk and returns once it is synced.
func (f *followerFile) save(d *configstream.Disk) error {
	out := fileDisk{Starts: d.Starts, InForce: d.InForce, Tries: d.Tries, Received: d.Received, Checks: d.Checks, Refused: d.Refused}
	return f.db.Update(func(tx *bbolt.Tx) error {
		contents := tx.Bucket(bucketContents)
		wanted := map[string]bool{}
		for _, v := range []struct {
			version *configstream.Version
			to      **configstream.Ref
		}{{d.Good, &out.Good}, {d.Previous, &out.Previous}} {
			if v.version == nil {
				continue
			}
			ref := v.version.Ref
			*v.to = &ref
			key := ref.Digest.String()
			wanted[key] = true
			if contents.Get([]byte(key)) != nil {
				continue
			}
			text, err := json.Marshal(v.version.Body(nil))
			if err == nil {
				err = contents.Put([]byte(key), text)
			}
			if err != nil {
				return err
			}
		}
		var old [][]byte
		if err := contents.ForEach(func(k, _ []byte) error {
			if !wanted[string(k)] {
				old = append(old, append([]byte{}, k...))
			}
			return nil
		}); err != nil {
			return err
		}
		for _, k := range old {
			if err := contents.Delete(k); err != nil {
				return err
			}
		}
		text, err := json.Marshal(out)
		if err == nil {
			err = tx.Bucket(bucketFollower).Put(keyDisk, text)
		}
		return err
	})
}
