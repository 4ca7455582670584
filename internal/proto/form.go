package proto

import "tarragongauge.example/tarragongauge/pkg/model"

// Messages of the bootstrap of journals.
type (
	// JournalFormAsk asks another journal host whether it forms the journals, too.
	JournalFormAsk struct {
		Nonce uint64
		// JournalsDigest is the digest of the asker's list of journals.
		JournalsDigest uint64
	}
	// JournalFormReply answers JournalFormAsk.
	JournalFormReply struct {
		Nonce uint64
		State JournalState
		// DiskID identifies the disk of a forming journal, or is 0.
		DiskID uint64
		// FormedDisks holds, from a complete journal, the disks with which the journals were formed.
		FormedDisks []JournalDisk
	}
	// JournalDisk is the disk of a journal host. A disk that was lost is replaced by one with another number.
	JournalDisk struct {
		Host   model.HostID
		DiskID uint64
	}
)

// JournalState says whether a journal's records are complete.
type JournalState int

// States of a journal.
const (
	// JournalForming means the journal is empty and was never complete, or lost its disk while create_fleet was set.
	JournalForming JournalState = iota + 1
	// JournalRepairing means the journal copies the records of others.
	JournalRepairing
	// JournalComplete means the journal was formed or repaired, and votes.
	JournalComplete
)

func (JournalFormAsk) isMessage()   {}
func (JournalFormReply) isMessage() {}
