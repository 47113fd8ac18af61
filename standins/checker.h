#ifndef STANDIN_CHECKER_H
#define STANDIN_CHECKER_H

#include "types/fence.h"

#include <glib.h>

/* Checks the record files of the backend servers against the answers that
   callers got, after a run with faults.  */

/* A line of a server's record file.  */
struct checker_line
{
  gint64 logged_at;    /* time, monotonic microseconds of the host */
  guint server_index;  /* number of the record file, one a server */
  char event[16];      /* begin, done or cancelled */
  char slice[16];      /* slice, empty for an undivided service */
  struct fence fence;  /* fence that the request carried */
  char request_id[64]; /* request id */
};

struct checker
{
  GArray *lines;            /* struct checker_line: all record files */
  GHashTable *begin_counts; /* request id to the number of runs begun */
  GHashTable *done_counts;  /* request id to the number of runs completed */
  guint two_owners_count;   /* runs begun under an old or a shared fence */
  guint overlap_count;      /* runs that ended after a newer owner began */
  guint run_twice_count;    /* at-most-once requests that began twice */
  guint ran_not_run_count;  /* requests answered as not run, but begun */
  guint done_unrun_count;   /* successes that no server completed */
  guint request_count;      /* requests in the callers' output */
  guint server_count;       /* record files read */
};

void checker_init (struct checker *checker);
void checker_clear (struct checker *checker);
gboolean checker_read_record (struct checker *checker, const char *file);
gboolean checker_read_caller (struct checker *checker, const char *file,
                              gboolean at_most_once);
void checker_check_owners (struct checker *checker);
gboolean checker_passed (const struct checker *checker);

#endif
