package process

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"wallport/runtime/kernel"
)

const (
	// maxWrites bounds the writes that are queued.
	maxWrites = 4096
	// closeTimeout is how long the shutdown waits for the disk. A hanging write may be dropped, since it
	// has not been acknowledged to any process.
	closeTimeout = time.Second
	// tempSuffix is the suffix of the temporary file to which a file's new content is written.
	tempSuffix = ".aside"
)

// disk is the data folder. One goroutine writes the files in the order of the requests: each is
// written to a temporary file, synced and renamed, and then the folder is synced. That goroutine may
// hang without blocking the loop.
type disk struct {
	dir   string
	lock  *os.File
	queue chan kernel.Write
	once  sync.Once
	done  sync.WaitGroup
}

// openDisk locks the data folder and reads its files. If dir is empty, there is no folder and there are no
// files.
func openDisk(dir string) (*disk, map[string][]byte, error) {
	d := &disk{dir: dir, queue: make(chan kernel.Write, maxWrites)}
	files := map[string][]byte{}
	if dir == "" {
		return d, files, nil
	}
	fail := oops.In("disk").With("folder", dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fail.Wrapf(err, "cannot create the data folder")
	}
	lock, err := lockDir(filepath.Join(dir, ".lock"))
	if err != nil {
		return nil, nil, fail.Wrapf(err, "the data folder is in use by another process")
	}
	d.lock = lock
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, fail.Wrapf(err, "cannot read the data folder")
	}
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || strings.HasPrefix(name, ".") {
			continue
		}
		if strings.HasSuffix(name, tempSuffix) {
			// The file was never renamed, so its write was never acknowledged.
			os.Remove(filepath.Join(dir, name))
			continue
		}
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, nil, fail.Wrapf(err, "cannot read the file %s in the data folder", name)
		}
		files[name] = b
	}
	return d, files, nil
}

// enqueue queues a write. If the queue is full, a kernel.Written reports that the write failed.
func (d *disk) enqueue(p *Process, w kernel.Write) {
	d.once.Do(func() {
		d.done.Add(1)
		go d.run(p)
	})
	select {
	case d.queue <- w:
	default:
		go p.Post(kernel.Written{Plugin: w.Plugin, Key: w.Key, Err: "write queue is full"})
	}
}

func (d *disk) run(p *Process) {
	defer d.done.Done()
	for w := range d.queue {
		err := d.write(w)
		if w.Key == "" {
			continue
		}
		res := kernel.Written{Plugin: w.Plugin, Key: w.Key}
		if err != nil {
			res.Err = err.Error()
		}
		p.Post(res)
	}
}

// write writes one file durably, or removes it. A removal is not synced: a file that reappears after a
// loss of power is an old version, which does no harm and is removed again with the next version.
func (d *disk) write(w kernel.Write) error {
	path := filepath.Join(d.dir, w.File)
	tempPath := path + tempSuffix
	if w.Data == nil {
		return os.Remove(path)
	}
	f, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(w.Data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		os.Remove(tempPath)
		return err
	}
	if err := os.Rename(tempPath, path); err != nil {
		return err
	}
	return d.syncDir()
}

func (d *disk) syncDir() error {
	f, err := os.Open(d.dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// close waits for the queued writes, for at most closeTimeout, and unlocks the folder.
func (d *disk) close() {
	close(d.queue)
	written := make(chan struct{})
	go func() {
		d.done.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(closeTimeout):
	}
	if d.lock != nil {
		d.lock.Close()
	}
}

// lockDir locks a data folder by its lock file, so that two processes never share the folder.
func lockDir(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		// The disk has no space even for an empty file. The process continues without the lock, since it
		// must still serve the data on its disk and report the disk's condition.
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
