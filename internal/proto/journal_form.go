package proto

import "tarragongauge.example/tarragongauge/pkg/model"

// Messages between journal hosts for the bootstrap of the journals.
type (
	// JournalFormAsk asks another journal host for the state of its journal, to
	// learn whether that host is forming the journals too.
	JournalFormAsk struct {
		Nonce uint64
		// JournalsDigest is the digest of the asker's list of journals.
		JournalsDigest uint64
	}
	// JournalFormReply answers JournalFormAsk.
	JournalFormReply struct {
		Nonce uint64
		State JournalState
		// DiskID identifies the disk of a forming journal. It is 0 in other states.
		DiskID uint64
		// FormedDisks lists the disks with which the journals were formed. Only a complete journal sets it.
		FormedDisks []JournalDisk
	}
	// JournalDisk identifies the disk of a journal host. A disk that replaces a
	// lost one has a different DiskID.
	JournalDisk struct {
		Host   model.HostID
		DiskID uint64
	}
)

// JournalState says whether the records of a journal are complete.
type JournalState int

// States of a journal.
const (
	// JournalForming means the journal is empty and was never complete, or lost its disk while create_fleet was set.
	JournalForming JournalState = iota + 1
	// JournalRepairing means the journal copies the records of other journals.
	JournalRepairing
	// JournalComplete means the journal was formed or repaired, and votes.
	JournalComplete
)

func (JournalFormAsk) isMessage()   {}
func (JournalFormReply) isMessage() {}
