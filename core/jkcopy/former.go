package jkcopy

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktoken"
)

// incarnationsFile lists the incarnations that wrote the log, the current one last.
const incarnationsFile = "incarnations.json"

// BeginIncarnation records that an incarnation writes the log from now on and returns
// the former ones that are not resolved yet. Until ResolveFormer, the copies that they
// wrote are uncertain: while this host was down, the programs' homes may have replaced
// it.
func (s *Store) BeginIncarnation(self jktoken.Incarnation) ([]jktoken.Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var former []jktoken.Incarnation
	text, err := os.ReadFile(filepath.Join(s.folder, incarnationsFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, eris.Wrap(err, "read incarnations of the log")
	}
	if err == nil {
		// A damaged list makes the copies uncertain, as a damaged log does.
		if json.Unmarshal(text, &former) != nil {
			s.damaged = true
		}
	}
	if len(former) > 0 || s.damaged {
		for _, h := range s.programs {
			h.uncertain = true
		}
	}
	return former, s.writeIncarnations(append(former, self))
}

func (s *Store) writeIncarnations(incarnations []jktoken.Incarnation) error {
	text, err := json.Marshal(incarnations)
	if err != nil {
		return eris.Wrap(err, "encode incarnations of the log")
	}
	path := filepath.Join(s.folder, incarnationsFile)
	if err := writeSynced(path+".new", text); err != nil {
		return eris.Wrap(err, "write incarnations of the log")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return eris.Wrap(err, "write incarnations of the log")
	}
	return eris.Wrap(syncFile(s.folder), "sync folder of the log")
}

// writeSynced writes a file that survives a power loss once its name does.
func writeSynced(path string, content []byte) error {
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	return syncFile(path)
}

// syncFile syncs a file, or the names in a folder.
func syncFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}

// ResolveFormer settles whether the copies written by former incarnations are valid. Kept
// means that no home has replaced this host, so they are, unless the log was damaged.
// Otherwise every copy that its home hasn't written to since the start is deleted.
func (s *Store) ResolveFormer(self jktoken.Incarnation, kept bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.programs {
		if !h.uncertain {
			continue
		}
		if kept {
			h.uncertain = s.damaged
			continue
		}
		if err := s.write(entry{Forget: id}); err != nil {
			return err
		}
	}
	// A deleted copy that returns after a power loss would pass for valid.
	if err := s.current.file.Sync(); err != nil {
		return eris.Wrap(err, "sync log")
	}
	return s.writeIncarnations([]jktoken.Incarnation{self})
}

// Holds reports whether the store has a copy of the program.
func (s *Store) Holds(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.programs[program] != nil
}
