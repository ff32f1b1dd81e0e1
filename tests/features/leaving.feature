Feature: A leaving engine or entry gets no new work and cuts off no answer

  Scenario Outline: An engine leaves while <state>
    An engine is taken out of service, but the entries can't see this in the
    platform's list of hosts. Prompts that they still sent to the engine would
    be cut off when it stops.
    When an engine <leaves> while <state>
    Then every entry soon stops sending it new work

    Examples:
      | leaves                     | state                       |
      | is drained by an operator  | the list of hosts is frozen |
      | reports that it is leaving | the platform is unavailable |

  Scenario Outline: An entry is told to leave <how>
    Callers stream answers through an entry that is being replaced. No answer
    may be cut off, and no new caller may be sent to this entry.
    When an entry with 20 answers in flight is told to leave <how>
    Then every answer is whole
    And the other entries no longer list it
    And its process exits by itself

    Examples:
      | how                               |
      | once                              |
      | twice                             |
      | while the platform is unavailable |
