#ifndef BAMBOOTALLY_JSON_H
#define BAMBOOTALLY_JSON_H

#include <glib.h>
#include <json-glib/json-glib.h>

/* Short ways to write members of a JSON object, through json-glib.  */

void json_add_string (JsonBuilder *builder, const char *name,
                      const char *value);
void json_add_number (JsonBuilder *builder, const char *name, gint64 value);
void json_add_boolean (JsonBuilder *builder, const char *name, gboolean value);
void json_add_incarnation (JsonBuilder *builder, const char *name,
                           guint64 value);
char *json_finish (JsonBuilder *builder);

#endif
