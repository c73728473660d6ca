#include "pw.h"

static mb_record
_pw_from_wire (const ms_member *m)
{
  return (mb_record){ .name = m->name,
                      .incarnation = m->incarnation,
                      .region = m->region,
                      .data_center = m->data_center,
                      .peer_address = m->peer_address,
                      .callers_address = m->callers_address,
                      .state = (mb_member_state)m->state,
                      .capacity = m->capacity,
                      .counter = m->counter };
}

static ms_member
_pw_to_wire (const mb_record *r)
{
  return (ms_member){ .name = r->name,
                      .incarnation = r->incarnation,
                      .region = r->region,
                      .data_center = r->data_center,
                      .peer_address = r->peer_address,
                      .callers_address = r->callers_address,
                      .state = (ms_member_state)r->state,
                      .capacity = r->capacity,
                      .counter = r->counter };
}

/* Makes the message OUT for IN.  Fills UPDATES, of which OUT has a view.  */
void
pw_write (const mb_message *in, ms_message *out,
          ms_member updates[MB_UPDATES_MAX])
{
  *out = (ms_message){ .type = MS_PING_REQ };
  switch (in->kind)
    {
    case MB_PING_REQ:
      out->u.ping_req = (ms_ping_req){ .sequence = in->sequence,
                                       .sender = in->self.incarnation,
                                       .target = in->subject };
      break;
    case MB_PING:
    case MB_ACK:
      out->type = in->kind == MB_PING ? MS_PING : MS_ACK;
      for (uint32_t i = 0; i < in->update_count; i++)
        updates[i] = _pw_to_wire (&in->updates[i]);
      out->u.probe = (ms_probe){ .sequence = in->sequence,
                                 .sender = in->self.incarnation,
                                 .subject = in->subject,
                                 .self = _pw_to_wire (&in->self),
                                 .update_count = in->update_count,
                                 .updates = updates };
      break;
    }
}

/* Converts IN, a PING or ACK, to OUT.  */
void
pw_read_probe (const ms_message *in, mb_message *out)
{
  const ms_probe *p = &in->u.probe;
  *out = (mb_message){ .kind = in->type == MS_PING ? MB_PING : MB_ACK,
                       .sequence = p->sequence,
                       .self = _pw_from_wire (&p->self),
                       .subject = p->subject,
                       .update_count = (uint32_t)p->update_count };
  for (size_t i = 0; i < p->update_count; i++)
    out->updates[i] = _pw_from_wire (&p->updates[i]);
}
