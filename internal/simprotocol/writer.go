package simprotocol

import (
	"bytes"
	"fmt"
	"io"
	"strconv"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// Writer writes replies: the actions of one batch, flushed at its end.
type Writer struct {
	out     io.Writer
	buf     []byte
	current int
}

// NewWriter returns a Writer on out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, current: -1} }

func (w *Writer) by(instance int) {
	if w.current != instance {
		w.buf = append(w.buf, "BY\t"...)
		w.buf = strconv.AppendInt(w.buf, int64(instance), 10)
		w.buf = append(w.buf, '\n')
		w.current = instance
	}
}

// Actions adds the actions of one instance.
func (w *Writer) Actions(instance int, n *settings.Names, actions []dispatch.Action) error {
	for i := range actions {
		if err := w.action(instance, n, &actions[i]); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) action(instance int, n *settings.Names, a *dispatch.Action) error {
	w.by(instance)
	switch a.Kind {
	case dispatch.Send:
		w.request("CALL_OUT", n, a.Request)
		w.buf = append(append(w.buf, '\t'), n.WorkerName(a.Worker)...)
		w.buf = appendTime(append(w.buf, '\t'), a.Wait)
		n.NoteSend(a.Request)
	case dispatch.Cancel:
		w.request("RETRACT", n, a.Request)
		w.buf = strconv.AppendInt(append(w.buf, '\t'), int64(a.Attempt), 10)
	case dispatch.Refuse:
		w.request("REFUSE", n, a.Request)
		w.buf = appendTime(append(w.buf, '\t'), a.Wait)
		n.NoteFinal(a.Request)
	case dispatch.GiveUp:
		w.request("GIVE_UP", n, a.Request)
		n.NoteFinal(a.Request)
	case dispatch.SetTimer:
		w.buf = appendTime(append(w.buf, "ARM\tt\t"...), a.Wait)
	case dispatch.WatchList:
		w.buf = append(w.buf, "WATCH\t1"...)
	case dispatch.FetchList:
		w.buf = append(w.buf, "LOOKUP"...)
	case dispatch.Tell:
		w.buf = strconv.AppendInt(append(w.buf, "WRITE_PEER\t"...), int64(a.Peer), 10)
		w.buf = appendNote(append(w.buf, '\t'), a.Note)
	default:
		return fmt.Errorf("action kind %d is unknown", a.Kind)
	}
	w.buf = append(w.buf, '\n')
	return nil
}

func (w *Writer) request(verb string, n *settings.Names, id dispatch.RequestID) {
	w.buf = append(append(w.buf, verb...), '\t')
	w.buf = append(w.buf, n.RequestName(id)...)
}

// Die reports that an instance's decisions broke.
func (w *Writer) Die(instance int, why string) {
	w.by(instance)
	text := bytes.ReplaceAll([]byte(why), []byte{'\n'}, []byte{' '})
	w.buf = append(append(append(w.buf, "DIE\t"...), text...), '\n')
}

// Flush ends the reply and sends it.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, "EOR\n"...)
	_, err := w.out.Write(w.buf)
	w.buf, w.current = w.buf[:0], -1
	if err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}
