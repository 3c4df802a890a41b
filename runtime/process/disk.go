// The data folder: each file is written aside, synced, renamed into place and
// the folder synced, in the order asked for, by one goroutine that may stall
// without anything else stalling with it.

package process

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"wallport/runtime/kernel"
)

type disk struct {
	dir  string
	lock *os.File
	jobs chan kernel.Write
	done sync.WaitGroup
	once sync.Once
}

func openDisk(dir string) (*disk, map[string][]byte, error) {
	d := &disk{dir: dir, jobs: make(chan kernel.Write, 4096)}
	files := map[string][]byte{}
	if dir == "" {
		return d, files, nil
	}
	fail := oops.In("disk").With("folder", dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fail.Wrapf(err, "cannot make the data folder")
	}
	lock, err := lockDir(filepath.Join(dir, ".lock"))
	if err != nil {
		return nil, nil, fail.Wrapf(err, "the data folder is in use by another process")
	}
	d.lock = lock
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, fail.Wrapf(err, "cannot read the data folder")
	}
	for _, e := range list {
		name := e.Name()
		if e.IsDir() || strings.HasPrefix(name, ".") {
			continue
		}
		if strings.HasSuffix(name, ".aside") {
			// Never renamed, so never acknowledged.
			os.Remove(filepath.Join(dir, name))
			continue
		}
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, nil, fail.Wrapf(err, "cannot read %s", name)
		}
		files[name] = b
	}
	return d, files, nil
}

func (d *disk) enqueue(p *Process, w kernel.Write) {
	d.once.Do(func() {
		d.done.Add(1)
		go d.run(p)
	})
	select {
	case d.jobs <- w:
	default:
		go p.Post(kernel.Written{Plugin: w.Plugin, Key: w.Key, Err: "backlog of writes is full"})
	}
}

func (d *disk) run(p *Process) {
	defer d.done.Done()
	for w := range d.jobs {
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

func (d *disk) write(w kernel.Write) error {
	path := filepath.Join(d.dir, w.File)
	if w.Data == nil {
		return os.Remove(path)
	}
	f, err := os.OpenFile(path+".aside", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(w.Data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		os.Remove(path + ".aside")
		return err
	}
	if err := os.Rename(path+".aside", path); err != nil {
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

// closeTimeout is how long the end of a process waits for its disk: what hangs was acknowledged to nobody.
const closeTimeout = time.Second

func (d *disk) close() {
	close(d.jobs)
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
