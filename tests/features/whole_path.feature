Feature: Requests pass through the whole system

  Background:
    Given a fleet of three entries, three engines, a store host and a service

  Scenario: A prompt and a booking pass through separate processes
    When a caller of interpreters asks any entry which entries to use
    Then it gets three live entries, those of the asked data centre first
    When it streams a completion from the first of them
    Then it gets the whole answer to its own prompt
    When a caller of bookings-desk makes a booking with a key, and repeats it
    Then both get the first run's answer
    And the service ran the booking once

  Scenario: A change of the declarations becomes active at every entry
    When an operator applies a changed contract and waits
    Then every entry reports the new revision
    And the time line of every entry shows rising revisions
