#ifndef BAMBOOTALLY_VIEW_CONFIG_ID_H
#define BAMBOOTALLY_VIEW_CONFIG_ID_H

#include <glib.h>

/* The record that brought a configuration into force.  */

#define CONFIG_HISTORY_SIZE 16u /* configurations remembered */

struct view_config_id
{
  guint64 offset; /* offset of the record, 0 for none */
  guint64 writer; /* incarnation of the writer */
  guint64 serial; /* serial that the writer gave the record */
};

#endif
