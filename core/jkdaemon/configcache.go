package jkdaemon

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkmsg"
)

// configFile holds the newest configuration on hosts with a disk, so that a restart
// during a platform outage does not fall back to an older one.
const configFile = "config.msgpack"

// saveConfig writes the configuration in force if it is newer than the saved
// one.
func (d *Daemon) saveConfig() {
	if d.follower.Revision() <= d.savedRevision {
		return
	}
	revision, packed, err := d.follower.Snapshot()
	if err == nil {
		err = d.writeConfig(jkmsg.Config{Revision: revision, Document: packed})
	}
	if err != nil {
		d.log.Part("config").Error("configuration can't be saved", err)
		return
	}
	d.savedRevision = revision
}

func (d *Daemon) writeConfig(c jkmsg.Config) error {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return eris.Wrap(err, "encode configuration")
	}
	path := filepath.Join(d.settings.DataFolder(), configFile)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return eris.Wrap(err, "write configuration")
	}
	return eris.Wrap(os.Rename(path+".new", path), "write configuration")
}

// restoreConfig puts the saved configuration into force until a newer one arrives.
func (d *Daemon) restoreConfig() {
	if d.copies == nil {
		return
	}
	data, err := os.ReadFile(filepath.Join(d.settings.DataFolder(), configFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var c jkmsg.Config
	if err == nil {
		err = msgpack.Unmarshal(data, &c)
	}
	if err == nil {
		_, err = d.follower.ApplySnapshot(c.Revision, c.Document)
	}
	if err != nil {
		// Not fatal: the platform and the other hosts also have the configuration.
		d.log.Part("config").Error("saved configuration can't be read", err)
		return
	}
	d.savedRevision = c.Revision
}
