// Package protocol defines what dapplestage exchanges with users, workers, the
// cloud and the state service, and the records it keeps there. It knows no
// connections and makes no decisions. The words of the wire appear only in the
// JSON tags; the code uses the field's terms.
package protocol
