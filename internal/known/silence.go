package known

import "tarragongauge.example/tarragongauge/pkg/model"

// A target sends its announcements to one control host and to another one once the
// first does not answer. The first host may not learn of that, as it may be cut off or
// stand still just then. What it does not hear therefore says nothing about the target,
// and changes neither its run nor its state: the host asks the others, and one that
// hears the target answers all of them. A target that none of them hears is not listed
// until it is heard again, and is removed after silentRetention.

// HandleSilence takes over that another control host hears a target no longer. It
// returns the messages to send: to all hosts if this one hears the target, and to the
// sender if the list holds a later run or state. The word of another host that hears
// the target may have come before, so only that of the host that told of it counts.
func (l *List) HandleSilence(now model.Instant, a model.Announcement, from model.HostID) []Message {
	e, ok := l.entries[a.Target]
	switch {
	case !ok || e.announcement.Run().IsBefore(a.Run()):
		return nil
	case a.Run().IsBefore(e.announcement.Run()):
		return []Message{{To: []model.HostID{from}, Announcement: e.announcement}}
	case e.isDirect && !e.isSilent:
		return []Message{l.messageToAll(e.announcement)}
	case e.announcement.State == model.TargetReady && !e.isSilent && (e.heardBy == from || e.heardBy == ""):
		e.isSilent, e.nextRepeatAt, e.repeatInterval = true, now.Add(repeatInterval), repeatInterval
		l.set(e)
	}
	return nil
}
