/* The two HTTP servers of an instance: one port for callers, one for operators. */
#ifndef SH_FRONT_H
#define SH_FRONT_H
#include "err.h"
#include <stdint.h>

int front_start(struct err *e);
void front_stop(void);
uint16_t front_port(void);

int admin_start(struct err *e);
void admin_stop(void);
uint16_t admin_port(void);
#endif
