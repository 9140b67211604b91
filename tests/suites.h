/// The suites of the unit and end-to-end tests.
#pragma once

void suite_message(void);
void suite_conf(void);
void suite_history(void);
void suite_members(void);
void suite_gate(void);
void suite_route(void);
void suite_policies(void);
void suite_claim(void);
void suite_orders(void);
void suite_settings(void);
void suite_requests(void);
void suite_failures(void);
void suite_shutdown(void);
void suite_catalog(void);
void suite_endless(void);
void suite_link(void);
void suite_store(void);
void suite_signals(void);
void suite_readers(void);
void suite_records(void);
void suite_place(void);
void suite_shed(void);
void suite_wire(void);
void suite_direct(void);
void suite_direct_store(void);
