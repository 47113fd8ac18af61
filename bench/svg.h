#ifndef BENCH_SVG_H
#define BENCH_SVG_H

#include <glib.h>

/* Writes a bar chart as an SVG file.  */

struct svg_bar
{
  char label[64];     /* text below the bar */
  gdouble value;      /* value shown above the bar, not negative */
  const char *colour; /* SVG colour name */
};

gboolean svg_write (const char *path, const char *title, const char *unit,
                    const GArray *bars);

#endif
