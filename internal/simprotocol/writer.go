package simprotocol

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// Writer collects the actions of a batch and writes them as one reply when Flush is called. It is not safe for concurrent
// use.
type Writer struct {
	out      io.Writer
	buf      []byte
	instance int // the instance that the last BY line names
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, instance: noInstance} }

// WriteActions adds the actions of an instance to the reply and updates the open requests in names. It returns an error
// for an action of an unknown kind.
func (w *Writer) WriteActions(instance int, names *settings.NameTable, actions []dispatch.Action) error {
	for i := range actions {
		w.selectInstance(instance)
		if err := w.writeAction(names, &actions[i]); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) writeAction(names *settings.NameTable, action *dispatch.Action) error {
	switch action.Kind {
	case dispatch.Send:
		w.begin(replySend)
		w.addText(names.RequestName(action.Request))
		w.addText(names.WorkerName(action.Worker))
		w.addTime(action.Wait)
		names.AttemptSent(action.Request)
	case dispatch.Cancel:
		w.begin(replyCancel)
		w.addText(names.RequestName(action.Request))
		w.addInt(action.Attempt)
	case dispatch.Reject:
		w.begin(replyReject)
		w.addText(names.RequestName(action.Request))
		w.addTime(action.Wait)
		names.RequestAnswered(action.Request)
	case dispatch.Fail:
		w.begin(replyFail)
		w.addText(names.RequestName(action.Request))
		names.RequestAnswered(action.Request)
	case dispatch.SetTimer:
		w.begin(replySetTimer)
		w.addTime(action.Wait)
	case dispatch.WatchEndpoints:
		w.begin(replyWatch)
	case dispatch.FetchEndpoints:
		w.begin(replyFetch)
	case dispatch.SendToPeer:
		w.begin(replyPeerMessage)
		w.addInt(action.Peer)
		w.buf = appendPeerMessage(append(w.buf, '\t'), action.Message)
	default:
		return fmt.Errorf("unknown action kind %d", action.Kind)
	}
	w.end()
	return nil
}

// WriteCrash adds a line to the reply which reports that an instance has crashed and no longer exists.
func (w *Writer) WriteCrash(instance int, reason string) {
	w.selectInstance(instance)
	w.begin(replyCrash)
	w.addText(strings.ReplaceAll(reason, "\n", " "))
	w.end()
}

// Flush ends the reply and writes it to the output.
func (w *Writer) Flush() error {
	w.begin(replyEnd)
	w.end()
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	w.instance = noInstance
	if err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

func (w *Writer) selectInstance(instance int) {
	if w.instance == instance {
		return
	}
	w.begin(replyInstance)
	w.addInt(instance)
	w.end()
	w.instance = instance
}

func (w *Writer) begin(name string) { w.buf = append(w.buf, name...) }

func (w *Writer) addText(value string) {
	w.buf = append(w.buf, '\t')
	w.buf = append(w.buf, value...)
}

func (w *Writer) addInt(value int) {
	w.buf = append(w.buf, '\t')
	w.buf = strconv.AppendInt(w.buf, int64(value), 10)
}

func (w *Writer) addTime(value dispatch.Time) {
	w.buf = append(w.buf, '\t')
	w.buf = appendSeconds(w.buf, value)
}

func (w *Writer) end() { w.buf = append(w.buf, '\n') }

// appendSeconds appends a duration in seconds without trailing zeros after the decimal point.
func appendSeconds(buf []byte, t dispatch.Time) []byte {
	if t < 0 {
		buf = append(buf, '-')
		t = -t
	}
	buf = strconv.AppendInt(buf, int64(t/dispatch.Second), 10)
	micros := int64(t % dispatch.Second)
	if micros == 0 {
		return buf
	}
	buf = append(buf, '.')
	for scale := int64(100000); micros > 0; scale /= 10 {
		buf = append(buf, byte('0'+micros/scale))
		micros %= scale
	}
	return buf
}
