package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"mulleinmux/configstream"
)

// followerFile is a bbolt file with a follower's [configstream.DurableState]. The contents of versions are stored under
// their digests and written once; the rest is rewritten with each change. Each change is one synced transaction.
type followerFile struct {
	db *bbolt.DB
}

const (
	followerFileFormat      = 1
	followerFileMode        = 0o600
	followerFileLockTimeout = time.Second
)

// Buckets and keys of the file.
var (
	bucketFollower = []byte("follower")
	bucketContents = []byte("contents")
	keyHeader      = []byte("head")
	keyState       = []byte("disk")
)

// followerFileHeader identifies the follower to which a file belongs.
type followerFileHeader struct {
	Format  int    `json:"form"`
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
}

// followerFileState is a [configstream.DurableState] with references in place of versions.
type followerFileState struct {
	StartCount         uint64                   `json:"starts"`
	Accepted           *configstream.Ref        `json:"good,omitempty"`
	WasActivated       bool                     `json:"in_force,omitempty"`
	ActivationAttempts int                      `json:"tries,omitempty"`
	Previous           *configstream.Ref        `json:"previous,omitempty"`
	Candidate          configstream.Ref         `json:"received"`
	CheckAttempts      int                      `json:"checks,omitempty"`
	Rejections         []configstream.Rejection `json:"refused,omitempty"`
}

// ErrInvalidFollowerFile reports that a follower's file is damaged or belongs to another follower.
var ErrInvalidFollowerFile = errors.New("the file is damaged or belongs to another follower: move it away, " +
	"and the follower begins with the next version that a quorum confirms")

// openFollowerFile opens or creates a follower's file and increments its start count. The caller closes it. The error
// of an unusable file wraps [ErrInvalidFollowerFile].
func openFollowerFile(path, cluster, name string) (f *followerFile, durable configstream.DurableState, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on damaged pages
			err = fmt.Errorf("%s: %w: %v", path, ErrInvalidFollowerFile, p)
		}
	}()
	options := &bbolt.Options{Timeout: followerFileLockTimeout, FreelistType: bbolt.FreelistMapType}
	db, err := bbolt.Open(path, followerFileMode, options)
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, durable, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		if _, statErr := os.Stat(path); statErr == nil {
			err = fmt.Errorf("%w: %w", ErrInvalidFollowerFile, err)
		}
		return nil, durable, fmt.Errorf("%s: %w", path, err)
	}
	f = &followerFile{db}
	err = f.initOrVerifyHeader(followerFileHeader{followerFileFormat, cluster, name})
	if err == nil {
		durable, err = f.load()
	}
	if err == nil {
		durable.StartCount++
		err = f.save(&durable)
	}
	if err != nil {
		return nil, durable, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return f, durable, nil
}

func (f *followerFile) close() error { return f.db.Close() }

// initOrVerifyHeader writes the header of a new file, or verifies that of an existing file.
func (f *followerFile) initOrVerifyHeader(want followerFileHeader) error {
	return f.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(bucketFollower)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(bucketContents); err != nil {
			return err
		}
		text := bucket.Get(keyHeader)
		if text == nil {
			return putJSON(bucket, keyHeader, want)
		}
		var header followerFileHeader
		if err := json.Unmarshal(text, &header); err != nil || header != want {
			return fmt.Errorf("%w: its header names follower %q of cluster %q, format %d",
				ErrInvalidFollowerFile, header.Name, header.Cluster, header.Format)
		}
		return nil
	})
}

// load reads the state and verifies the digests of its versions.
func (f *followerFile) load() (durable configstream.DurableState, err error) {
	err = f.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(bucketFollower).Get(keyState)
		if text == nil {
			return nil
		}
		var state followerFileState
		if err := json.Unmarshal(text, &state); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidFollowerFile, err)
		}
		durable = configstream.DurableState{
			StartCount:         state.StartCount,
			WasActivated:       state.WasActivated,
			ActivationAttempts: state.ActivationAttempts,
			Candidate:          state.Candidate,
			CheckAttempts:      state.CheckAttempts,
			Rejections:         state.Rejections,
		}
		contents := tx.Bucket(bucketContents)
		if durable.Accepted, err = loadVersion(contents, state.Accepted); err != nil {
			return err
		}
		durable.Previous, err = loadVersion(contents, state.Previous)
		return err
	})
	return durable, err
}

// loadVersion reads the version of a reference. It returns nil for a nil reference.
func loadVersion(contents *bbolt.Bucket, ref *configstream.Ref) (*configstream.Version, error) {
	if ref == nil {
		return nil, nil
	}
	body := &configstream.Body{}
	var version *configstream.Version
	err := json.Unmarshal(contents.Get(contentKey(*ref)), body)
	if err == nil {
		version, err = body.Build(nil)
	}
	if err == nil && version.Ref != *ref {
		err = configstream.ErrCorrupt
	}
	if err != nil {
		return nil, fmt.Errorf("%w: version %v: %w", ErrInvalidFollowerFile, ref, err)
	}
	return version, nil
}

// save writes the state and returns once it is synced.
func (f *followerFile) save(durable *configstream.DurableState) error {
	state := followerFileState{
		StartCount:         durable.StartCount,
		WasActivated:       durable.WasActivated,
		ActivationAttempts: durable.ActivationAttempts,
		Candidate:          durable.Candidate,
		CheckAttempts:      durable.CheckAttempts,
		Rejections:         durable.Rejections,
	}
	return f.db.Update(func(tx *bbolt.Tx) (err error) {
		contents := tx.Bucket(bucketContents)
		if state.Accepted, err = saveVersion(contents, durable.Accepted); err != nil {
			return err
		}
		if state.Previous, err = saveVersion(contents, durable.Previous); err != nil {
			return err
		}
		if err := deleteOtherVersions(contents, state.Accepted, state.Previous); err != nil {
			return err
		}
		return putJSON(tx.Bucket(bucketFollower), keyState, state)
	})
}

// saveVersion writes a version's content unless it is already stored, and returns the version's reference. It returns
// nil for a nil version.
func saveVersion(contents *bbolt.Bucket, version *configstream.Version) (*configstream.Ref, error) {
	if version == nil {
		return nil, nil
	}
	ref := version.Ref
	key := contentKey(ref)
	if contents.Get(key) != nil {
		return &ref, nil
	}
	return &ref, putJSON(contents, key, version.Body(nil))
}

// deleteOtherVersions deletes all contents but those of the references, each of which may be nil.
func deleteOtherVersions(contents *bbolt.Bucket, retained ...*configstream.Ref) error {
	isRetained := map[string]bool{}
	for _, ref := range retained {
		if ref != nil {
			isRetained[string(contentKey(*ref))] = true
		}
	}
	var obsolete [][]byte // a bucket must not change while it is iterated over
	err := contents.ForEach(func(key, _ []byte) error {
		if !isRetained[string(key)] {
			obsolete = append(obsolete, append([]byte{}, key...))
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, key := range obsolete {
		if err := contents.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// contentKey is the key of a version's content. Versions with the same digest have the same content.
func contentKey(ref configstream.Ref) []byte { return []byte(ref.Digest.String()) }

func putJSON(bucket *bbolt.Bucket, key []byte, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, text)
}
