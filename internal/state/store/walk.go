package store

import "context"

// Scanner reads pages of rows.
type Scanner interface {
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error)
}

// ScanAll calls take with every row under prefix above version since, in order of
// version, reading pages of limit rows. A row that changes during the walk may
// come twice; the last call has what a read at the end of the walk shows.
//
// The rows of one commit share a version, and a page may end among them. Going
// on after that version would lose the rest without any sign, so a full page's
// last version is read again, with larger pages if it fills one.
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
