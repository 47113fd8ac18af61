#include "types/record.h"

#include <string.h>

/* Name the kind of a record for logs and listings.  */
const char *
record_kind_name (enum record_kind kind)
{
  switch (kind)
    {
    case RECORD_CONFIG:
      return "config";
    case RECORD_JOIN:
      return "join";
    case RECORD_LEAVING:
      return "leaving";
    case RECORD_REMOVED:
      return "out";
    case RECORD_WITNESS_SET:
      return "witness";
    case RECORD_ASSIGN:
      return "assign";
    case RECORD_MOVE:
      return "move";
    case RECORD_MOVED:
      return "moved";
    case RECORD_HOT_KEY:
      return "hot";
    case RECORD_SUSPECT:
      return "suspect";
    case RECORD_SNAPSHOT:
      return "snapshot";
    case RECORD_SUCCESSOR:
      return "successor";
    }
  return "unnamed";
}

/* Release what the body of RECORD points at and make it empty.  */
void
record_clear (struct record *record)
{
  switch (record->kind)
    {
    case RECORD_CONFIG:
      g_free (record->body.config.text);
      break;
    case RECORD_ASSIGN:
    case RECORD_MOVE:
    case RECORD_MOVED:
    case RECORD_SUCCESSOR:
      g_free (record->body.slices.items);
      break;
    case RECORD_SNAPSHOT:
      g_free (record->body.snapshot.bytes);
      break;
    case RECORD_JOIN:
    case RECORD_LEAVING:
    case RECORD_REMOVED:
    case RECORD_WITNESS_SET:
    case RECORD_HOT_KEY:
    case RECORD_SUSPECT:
      break;
    }
  memset (record, 0, sizeof *record);
}

/* Make TO a copy of FROM that owns what it points at.  */
void
record_copy (struct record *to, const struct record *from)
{
  *to = *from;
  switch (from->kind)
    {
    case RECORD_CONFIG:
      to->body.config.text = g_strdup (from->body.config.text);
      break;
    case RECORD_ASSIGN:
    case RECORD_MOVE:
    case RECORD_MOVED:
    case RECORD_SUCCESSOR:
      to->body.slices.items
          = g_memdup2 (from->body.slices.items,
                       from->body.slices.count * sizeof (struct record_slice));
      break;
    case RECORD_SNAPSHOT:
      to->body.snapshot.bytes
          = g_memdup2 (from->body.snapshot.bytes, from->body.snapshot.length);
      break;
    case RECORD_JOIN:
    case RECORD_LEAVING:
    case RECORD_REMOVED:
    case RECORD_WITNESS_SET:
    case RECORD_HOT_KEY:
    case RECORD_SUSPECT:
      break;
    }
}
