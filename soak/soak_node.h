#ifndef SOAK_NODE_H
#define SOAK_NODE_H

#include "types/address.h"

#include <sys/types.h>

/* A node that runs as a child process of the soak.  */

struct soak_node
{
  const char *program_path; /* path of the node's program */
  char *settings_path;      /* path of its settings file */
  char *log_path;           /* path of its log file */
  pid_t pid;                /* process id, 0: no process runs */
  gboolean paused;          /* the process is stopped by SIGSTOP */
  gint64 start_at;          /* earliest next start, monotonic usec */
  gint64 resume_at;  /* a paused process continues then, monotonic usec */
  guint start_count; /* times that the process was started */
};

void soak_node_start (struct soak_node *node);
void soak_node_signal (struct soak_node *node, int signo);
void soak_node_step (struct soak_node *node, gint64 now);
void soak_node_kill (struct soak_node *node);

#endif
