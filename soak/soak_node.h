#ifndef SOAK_NODE_H
#define SOAK_NODE_H

#include "types/address.h"

#include <sys/types.h>

/* A node process of the soak, a child process of it.  */

struct soak_node
{
  const char *program_path; /* path of the node's program */
  char *settings_path;      /* path of its settings file */
  char *log_path;           /* path of its log file */
  pid_t pid;                /* process id, 0: no process runs */
  gboolean paused;          /* the process is stopped by SIGSTOP */
  gint64 start_at; /* earliest time of the next start, monotonic usec */
  gint64
      resume_at; /* time when a paused process is continued, monotonic usec */
  guint start_count; /* number of times that the process was started */
};

void soak_node_start (struct soak_node *node);
void soak_node_signal (struct soak_node *node, int signo);
void soak_node_step (struct soak_node *node, gint64 now);
void soak_node_kill (struct soak_node *node);

#endif
