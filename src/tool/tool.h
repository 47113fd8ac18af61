#ifndef BAMBOOTALLY_TOOL_H
#define BAMBOOTALLY_TOOL_H

#include "edge/http.h"
#include "types/config_error.h"
#include "types/record.h"

/* The operators' command, one function a command.  Each returns the exit
   status.  */

#define TOOL_OK 0            /* done */
#define TOOL_USAGE 2         /* the command line is not right */
#define TOOL_INVALID 3       /* the configuration has faults */
#define TOOL_CONFLICT 4      /* another configuration came first */
#define TOOL_UNREACHABLE 5   /* node or log cannot be reached */
#define TOOL_NOT_FOUND 6     /* no such thing */
#define TOOL_INDETERMINATE 7 /* it may have taken effect, or not */
#define TOOL_DIVERGED 8 /* nodes at one offset do not hold the same view */

/* What the command line says.  */
struct tool
{
  struct address node_address; /* a node's front, port 0 if not given */
  struct address log_address;  /* the log service */
  const char *stream;          /* the stream on it */
  const char *author;          /* who publishes */
  gboolean json_output;        /* machine-readable output */
  gboolean is_confirmed;       /* what is at stake is accepted */
  gint64 timeout_usec;         /* how long to wait in all */
  const char *args[3];         /* the command's words */
  guint arg_count;             /* how many */
};

/* An answer over HTTP.  */
struct tool_response
{
  enum err code;         /* ERR_NONE if there is one */
  gboolean was_sent;     /* the request left this host */
  guint status;          /* HTTP status */
  GString *body;         /* its body */
  guint64 config_offset; /* Config-Offset, 0 if it has none */
  guint64 next_offset;   /* Log-Next, 0 if it has none */
  guint64 first_offset;  /* Log-First, 0 if it has none */
  guint64 end_offset;    /* Log-Tail, 0 if it has none */
  char *config_history;  /* Config-Past, NULL if it has none */
};

int tool_check (const struct tool *tool);
int tool_publish (const struct tool *tool);
int tool_status (const struct tool *tool);
int tool_explain (const struct tool *tool);
int tool_drain (const struct tool *tool);
int tool_counters (const struct tool *tool);
int tool_log (const struct tool *tool);
int tool_declare_dead (const struct tool *tool);
int tool_digest (const struct tool *tool);
enum err tool_append (const struct tool *tool, const struct record *record,
                      guint64 *offset);
guint64 tool_random_id (void);
void tool_request (struct tool_response *answer, struct address to,
                   const char *method, const char *target, const guint8 *bytes,
                   gsize count, gint64 timeout_usec);
void tool_response_clear (struct tool_response *answer);
void tool_print_config_errors (const struct tool *tool, const GArray *errors);
void tool_print_error (const struct tool *tool, const char *what,
                       enum err code);
int tool_print_response (const struct tool *tool, const char *method,
                         const char *target);

#endif
