package store

import "context"

// Scanner reads pages of rows.
type Scanner interface {
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error)
}

// ScanAll calls take for every row with the key prefix and a version above since,
// ordered by version. It reads pages of limit rows. A row may be passed to take twice
// if it changes during the scan; the last call has the content that a read at the
// end of the scan returns.
//
// The rows of one commit share a version, and a page may end between them. A scan
// that continued after that version would silently skip the remaining rows of the
// commit. The last version of a full page is therefore read again, with larger pages
// if its rows fill a whole page.
func ScanAll(ctx context.Context, s Scanner, prefix string, since uint64, limit int, take func(Row)) error {
	for {
		rows, err := s.Scan(ctx, prefix, since, limit)
		if err != nil {
			return err
		}
		for _, r := range rows {
			take(r)
		}
		if len(rows) < limit {
			return nil
		}
		next := rows[len(rows)-1].Version() - 1
		if next <= since {
			limit *= 2
			continue
		}
		since = next
	}
}
